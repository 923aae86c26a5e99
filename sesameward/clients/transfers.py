"""Run HTTP transfers with libcurl's multi interface on asyncio.

Tornado's curl client configures a handle anew for each transfer, which costs
more than the transfer itself. Here each handle is configured once for its URL
and then reused.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
import select
import socket
import typing

import msgspec
import pycurl


class Failure(enum.Enum):
    """List how a transfer can fail."""

    # The transfer failed before the request was sent.
    CONNECT = 'connect'
    # The transfer failed after the request may have been sent.
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    # The response's body is longer than the limit.
    TOO_LARGE = 'too_large'


class Response(msgspec.Struct, frozen=True):
    """Hold the result of a transfer; status is 0 if it failed.

    sent is False only if the server cannot have received the request.
    """

    status: int
    body: bytes
    failure: Failure | None = None
    sent: bool = True


OnDone = typing.Callable[[Response], None]

_EPOLL_EVENTS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
_EPOLL_ERRORS = select.EPOLLERR | select.EPOLLHUP


class SocketWatcher:
    """Watch libcurl's sockets, also those of idle connections.

    libcurl reuses a connection without checking whether the server closed it
    within the last second. A request on such a connection reaches no server
    and may be sent again, so closed_local_ports holds the local ports of
    connections that were closed while idle.
    """

    def __init__(self):
        self.epoll = select.epoll()
        self.wanted_events: dict[int, int] = {}
        self.closed_local_ports: set[int] = set()
        self._registered: dict[int, int] = {}

    def watch(self, fd: int, events: int) -> None:
        """Watch a socket for events; without events, only for its close."""
        self.wanted_events[fd] = events
        # The socket stays registered while its connection is idle, since
        # the next transfer needs it again. An event on an idle connection
        # means that the server closed it.
        if not events or self._registered.get(fd) == events:
            return
        self._registered[fd] = events
        try:
            self.epoll.modify(fd, events)
        except FileNotFoundError:
            self.epoll.register(fd, events)

    def on_open(self, fd: int) -> None:
        """Drop the record of an earlier socket with this descriptor."""
        # The kernel removed the earlier socket from epoll when it was closed.
        self._registered.pop(fd, None)

    def on_server_close(self, fd: int) -> None:
        """Stop watching an idle connection that the server closed."""
        self._registered.pop(fd, None)
        with contextlib.suppress(OSError):
            self.epoll.unregister(fd)
            with socket.socket(fileno=os.dup(fd)) as copy:
                self.closed_local_ports.add(copy.getsockname()[1])

    def pop_closed_port(self, local_port: int) -> bool:
        """Remove a port from the recorded ports of closed connections.

        Return whether the port was recorded.
        """
        if local_port not in self.closed_local_ports:
            return False
        self.closed_local_ports.remove(local_port)
        return True


class Transfer:
    """Hold one libcurl handle, which runs one transfer at a time.

    libcurl sends a request again if a reused connection closes without a
    reply. The server may have run the request by then, so the second send is
    aborted, unless the first used a connection that was already closed.
    """

    __slots__ = (
        'aborted',
        'chunks',
        'curl',
        'done',
        'handle_pool',
        'opened',
        'sent',
        'size',
        'sockets',
    )

    def __init__(self, sockets: SocketWatcher):
        self.sockets = sockets
        # Whether this transfer opened a connection instead of reusing one.
        self.opened = False
        # Whether the request may have been sent.
        self.sent = False
        self.handle_pool: HandlePool | None = None
        self.chunks: list[bytes] = []
        # Bytes of the response's body so far.
        self.size = 0
        self.aborted = False
        self.done: OnDone | None = None
        self.curl = pycurl.Curl()
        self.curl.owner = self

    def configure(self, handle_pool: HandlePool) -> None:
        """Configure the handle for all transfers to one URL."""
        self.handle_pool = handle_pool
        curl = self.curl
        curl.reset()
        curl.setopt(pycurl.URL, handle_pool.url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTPGET if handle_pool.use_get else pycurl.POST, 1)
        curl.setopt(pycurl.HTTPHEADER, handle_pool.headers)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_open)
        if handle_pool.fresh_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def abort(self) -> None:
        """Make libcurl fail the transfer at its next progress callback."""
        self.aborted = True
        self.done = None
        self.curl.setopt(pycurl.NOPROGRESS, 0)

    def clear_abort(self) -> None:
        """Make the handle of an aborted transfer usable again."""
        self.aborted = False
        self.curl.setopt(pycurl.NOPROGRESS, 1)

    def _on_open(self, fd: int, _: int) -> int:
        self.opened = True
        self.sockets.on_open(fd)
        return pycurl.SOCKOPT_OK

    def _before_request(
        self, _: str, __: str, ___: int, local_port: int
    ) -> int:
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        if self.sockets.closed_local_ports:
            if self.sockets.pop_closed_port(local_port) and not self.opened:
                return pycurl.PREREQFUNC_OK
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _progress(self, *_: float) -> int:
        return int(self.aborted)

    def _write(self, chunk: bytes) -> int | None:
        self.size += len(chunk)
        if self.size > self.handle_pool.max_bytes:
            return 0
        self.chunks.append(chunk)
        return None


class HandlePool:
    """Hold the configuration and the idle handles for one URL.

    Requests use POST unless GET is chosen. With fresh_connection=True each
    transfer opens a connection, so that none fails because the server closed
    an idle one. max_bytes limits the length of a response's body.
    """

    def __init__(
        self,
        url: str,
        headers: list[str],
        fresh_connection: bool = False,
        use_get: bool = False,
        max_bytes: int = 16_000_000,
    ):
        self.url = url
        self.use_get = use_get
        self.headers = ['Expect:', *headers]
        self.fresh_connection = fresh_connection
        self.max_bytes = max_bytes
        self.idle: list[Transfer] = []


class Transfers:
    """Run transfers on one libcurl multi handle in the event loop."""

    def __init__(self, max_connections: int = 10_000):
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._set_socket)
        self._timer: asyncio.TimerHandle | None = None
        self._immediate_call: asyncio.Handle | None = None
        # A separate epoll object costs less than adding each socket to the
        # event loop. The kernel also removes sockets from it that libcurl
        # closes without notice.
        self._sockets = SocketWatcher()
        self._epoll = self._sockets.epoll
        self._loop.add_reader(self._epoll.fileno(), self._on_ready)
        self._abort_call: asyncio.Handle | None = None
        self._aborting: list[Transfer] = []
        self._spare_transfers: list[Transfer] = []

    def submit(
        self,
        handle_pool: HandlePool,
        body: bytes,
        done: OnDone,
        timeout_ms: int = 0,
    ) -> Transfer:
        """Start a transfer; done is called once unless it is cancelled.

        A timeout_ms of 0 sets no timeout.
        """
        transfer = (
            handle_pool.idle.pop()
            if handle_pool.idle
            else self._create(handle_pool)
        )
        transfer.done = done
        transfer.size = 0
        transfer.sent = False
        transfer.opened = False
        curl = transfer.curl
        if not handle_pool.use_get:
            curl.setopt(pycurl.POSTFIELDS, body)
        if timeout_ms:
            curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        self._multi.add_handle(curl)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Abandon a transfer and close its connection; done is not called."""
        if transfer.done is None:
            return
        transfer.abort()
        self._aborting.append(transfer)
        if self._abort_call is None:
            self._abort_call = self._loop.call_soon(self._abort_pending)

    def recycle_handles(self, handle_pool: HandlePool) -> None:
        """Make the idle handles of one URL available for other URLs."""
        self._spare_transfers.extend(handle_pool.idle)
        handle_pool.idle.clear()

    def close(self) -> None:
        """Abandon all transfers without calling done; free libcurl's state."""
        for handle in (self._timer, self._immediate_call, self._abort_call):
            if handle is not None:
                handle.cancel()
        self._loop.remove_reader(self._epoll.fileno())
        self._multi.close()
        self._epoll.close()

    def _create(self, handle_pool: HandlePool) -> Transfer:
        if self._spare_transfers:
            transfer = self._spare_transfers.pop()
        else:
            transfer = Transfer(self._sockets)
        transfer.configure(handle_pool)
        return transfer

    def _release(self, transfer: Transfer) -> None:
        transfer.done = None
        transfer.chunks.clear()
        if transfer.aborted:
            transfer.clear_abort()
        transfer.handle_pool.idle.append(transfer)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms == 0:
            if self._immediate_call is None:
                self._immediate_call = self._loop.call_soon(
                    self._on_immediate_call
                )
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms > 0:
            self._timer = self._loop.call_later(
                timeout_ms / 1000, self._on_timer
            )

    def _set_socket(self, event: int, fd: int, multi, data) -> None:
        self._sockets.watch(fd, _EPOLL_EVENTS.get(event, 0))

    def _on_ready(self) -> None:
        socket_action = self._multi.socket_action
        wanted_events = self._sockets.wanted_events
        for fd, events in self._epoll.poll(0):
            if wanted_events.get(fd):
                socket_action(fd, _curl_select_bits(events, wanted_events[fd]))
            else:
                self._sockets.on_server_close(fd)
        self._process_finished()

    def _on_immediate_call(self) -> None:
        self._immediate_call = None
        self._run_socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _on_timer(self) -> None:
        self._timer = None
        self._run_socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _abort_pending(self) -> None:
        self._abort_call = None
        aborting, self._aborting = self._aborting, []
        for transfer in aborting:
            if transfer.aborted:
                fd = transfer.curl.getinfo(pycurl.ACTIVESOCKET)
                self._run_socket_action(fd, pycurl.CSELECT_IN)

    def _run_socket_action(self, fd: int, action: int) -> None:
        self._multi.socket_action(fd, action)
        self._process_finished()

    def _process_finished(self) -> None:
        while True:
            queued, finished, failed = self._multi.info_read()
            for curl in finished:
                self._finish(curl.owner, 0)
            for curl, curl_error, _ in failed:
                self._finish(curl.owner, curl_error)
            if not queued:
                break

    def _finish(self, transfer: Transfer, curl_error: int) -> None:
        curl = transfer.curl
        self._multi.remove_handle(curl)
        done = transfer.done
        response = _response(transfer, curl_error)
        self._release(transfer)
        if done is not None:
            done(response)


def _curl_select_bits(events: int, wanted_events: int) -> int:
    if events & _EPOLL_ERRORS:
        events |= wanted_events
    action = 0
    if events & wanted_events & select.EPOLLIN:
        action |= pycurl.CSELECT_IN
    if events & wanted_events & select.EPOLLOUT:
        action |= pycurl.CSELECT_OUT
    return action


def _response(transfer: Transfer, curl_error: int) -> Response:
    if not curl_error:
        chunks = transfer.chunks
        body = chunks[0] if len(chunks) == 1 else b''.join(chunks)
        return Response(transfer.curl.getinfo(pycurl.RESPONSE_CODE), body)
    sent = transfer.sent
    return Response(0, b'', _failure(curl_error, sent), sent)


def _failure(curl_error: int, sent: bool) -> Failure:
    if curl_error == pycurl.E_OPERATION_TIMEDOUT:
        return Failure.TIMEOUT
    if curl_error == pycurl.E_WRITE_ERROR:
        return Failure.TOO_LARGE
    return Failure.BROKEN if sent else Failure.CONNECT
