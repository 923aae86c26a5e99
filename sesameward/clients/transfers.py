"""Run HTTP transfers on libcurl's multi interface and asyncio.

Tornado's curl client sets up each transfer from nothing, which costs more
than the transfer itself; here each handle is set up once for its server.
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
    """Name how a transfer failed."""

    CONNECT = 'connect'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    TOO_LARGE = 'too_large'


class Response(msgspec.Struct, frozen=True):
    """Hold a finished transfer; sent tells whether bytes may have left."""

    status: int
    body: bytes
    failure: Failure | None = None
    sent: bool = True


Done = typing.Callable[[Response], None]

_EPOLL = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
_ERRORS = select.EPOLLERR | select.EPOLLHUP


class Sockets:
    """Watch libcurl's sockets, idle ones too.

    libcurl uses a connection again without looking whether the server has
    closed it in the last second; closed_ports has the local ports of those.
    """

    def __init__(self):
        self.epoll = select.epoll()
        self.wanted: dict[int, int] = {}
        self.closed_ports: set[int] = set()
        self._registered: dict[int, int] = {}

    def want(self, fd: int, events: int) -> None:
        """Watch a socket; without events, only for its end."""
        self.wanted[fd] = events
        # The socket stays registered while its connection is idle, since
        # the next transfer wants it again.
        if not events or self._registered.get(fd) == events:
            return
        self._registered[fd] = events
        try:
            self.epoll.modify(fd, events)
        except FileNotFoundError:
            self.epoll.register(fd, events)

    def opened(self, fd: int) -> None:
        """Take in that libcurl opened a socket of this number."""
        # The kernel dropped the registration of an earlier one on close.
        self._registered.pop(fd, None)

    def closed(self, fd: int) -> None:
        """Take in that a server closed an idle connection."""
        self._registered.pop(fd, None)
        with contextlib.suppress(OSError):
            self.epoll.unregister(fd)
            with socket.socket(fileno=os.dup(fd)) as copy:
                self.closed_ports.add(copy.getsockname()[1])

    def take_closed(self, port: int) -> bool:
        """Tell whether the connection was closed; forget it."""
        if port not in self.closed_ports:
            return False
        self.closed_ports.remove(port)
        return True


class Transfer:
    """Own one libcurl handle, used for one transfer at a time.

    libcurl sends a request again when a reused connection closes without a
    reply. The request may have run by then, so the second time is refused,
    unless the first went to a connection which was closed before.
    """

    __slots__ = (
        'aborted',
        'chunks',
        'curl',
        'done',
        'lane',
        'opened',
        'sent',
        'size',
        'sockets',
    )

    def __init__(self, sockets: Sockets):
        self.sockets = sockets
        self.opened = False
        self.sent = False
        self.lane: Lane | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.aborted = False
        self.done: Done | None = None
        self.curl = pycurl.Curl()
        self.curl.owner = self

    def prepare(self, lane: Lane) -> None:
        """Set the handle up for all transfers of one lane."""
        self.lane = lane
        curl = self.curl
        curl.reset()
        curl.setopt(pycurl.URL, lane.url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTPGET if lane.reads else pycurl.POST, 1)
        curl.setopt(pycurl.HTTPHEADER, lane.headers)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_open)
        if lane.once:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def abort(self) -> None:
        """Let libcurl fail the transfer the next time it looks at it."""
        self.aborted = True
        self.done = None
        self.curl.setopt(pycurl.NOPROGRESS, 0)

    def rearm(self) -> None:
        """Make an aborted handle fit for use again."""
        self.aborted = False
        self.curl.setopt(pycurl.NOPROGRESS, 1)

    def _on_open(self, fd: int, _: int) -> int:
        self.opened = True
        self.sockets.opened(fd)
        return pycurl.SOCKOPT_OK

    def _before_request(self, _: str, __: str, ___: int, port: int) -> int:
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        if self.sockets.closed_ports:
            if self.sockets.take_closed(port) and not self.opened:
                return pycurl.PREREQFUNC_OK
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _progress(self, *_: float) -> int:
        return int(self.aborted)

    def _write(self, chunk: bytes) -> int | None:
        self.size += len(chunk)
        if self.size > self.lane.max_bytes:
            return 0
        self.chunks.append(chunk)
        return None


class Lane:
    """Hold the idle handles for one URL.

    A lane with once=True opens a connection for each transfer, so that no
    transfer fails because the server closed an idle connection.
    """

    def __init__(
        self,
        url: str,
        headers: list[str],
        once: bool = False,
        reads: bool = False,
        max_bytes: int = 16_000_000,
    ):
        self.url = url
        self.reads = reads
        self.headers = ['Expect:', *headers]
        self.once = once
        self.max_bytes = max_bytes
        self.idle: list[Transfer] = []


class Transfers:
    """Drive all transfers of this process."""

    def __init__(self, max_connections: int = 10_000):
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._set_socket)
        self._timer: asyncio.TimerHandle | None = None
        self._kick: asyncio.Handle | None = None
        # An epoll object of its own costs less than the event loop's, and
        # drops by itself the sockets which libcurl closes unannounced.
        self._sockets = Sockets()
        self._epoll = self._sockets.epoll
        self._loop.add_reader(self._epoll.fileno(), self._on_ready)
        self._abort: asyncio.Handle | None = None
        self._aborting: list[Transfer] = []
        self._spare: list[Transfer] = []

    def submit(
        self,
        lane: Lane,
        body: bytes,
        done: Done,
        timeout_ms: int = 0,
    ) -> Transfer:
        """Start a transfer; done is called once unless it is cancelled."""
        transfer = lane.idle.pop() if lane.idle else self._create(lane)
        transfer.done = done
        transfer.size = 0
        transfer.sent = False
        transfer.opened = False
        curl = transfer.curl
        if not lane.reads:
            curl.setopt(pycurl.POSTFIELDS, body)
        if timeout_ms:
            curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        self._multi.add_handle(curl)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Abandon a transfer and close its connection."""
        if transfer.done is None:
            return
        transfer.abort()
        self._aborting.append(transfer)
        if self._abort is None:
            self._abort = self._loop.call_soon(self._on_abort)

    def forget(self, lane: Lane) -> None:
        """Make the lane's idle handles free for other lanes."""
        self._spare.extend(lane.idle)
        lane.idle.clear()

    def close(self) -> None:
        """Abandon all transfers and free libcurl's state."""
        for handle in (self._timer, self._kick, self._abort):
            if handle is not None:
                handle.cancel()
        self._loop.remove_reader(self._epoll.fileno())
        self._multi.close()
        self._epoll.close()

    def _create(self, lane: Lane) -> Transfer:
        if self._spare:
            transfer = self._spare.pop()
        else:
            transfer = Transfer(self._sockets)
        transfer.prepare(lane)
        return transfer

    def _release(self, transfer: Transfer) -> None:
        transfer.done = None
        transfer.chunks.clear()
        if transfer.aborted:
            transfer.rearm()
        transfer.lane.idle.append(transfer)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms == 0:
            if self._kick is None:
                self._kick = self._loop.call_soon(self._on_kick)
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms > 0:
            self._timer = self._loop.call_later(
                timeout_ms / 1000, self._on_timer
            )

    def _set_socket(self, event: int, fd: int, multi, data) -> None:
        self._sockets.want(fd, _EPOLL.get(event, 0))

    def _on_ready(self) -> None:
        act = self._multi.socket_action
        wanted = self._sockets.wanted
        for fd, events in self._epoll.poll(0):
            if wanted.get(fd):
                act(fd, _select_bits(events, wanted[fd]))
            else:
                self._sockets.closed(fd)
        self._take_finished()

    def _on_kick(self) -> None:
        self._kick = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_timer(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_abort(self) -> None:
        self._abort = None
        aborting, self._aborting = self._aborting, []
        for transfer in aborting:
            if transfer.aborted:
                fd = transfer.curl.getinfo(pycurl.ACTIVESOCKET)
                self._act(fd, pycurl.CSELECT_IN)

    def _act(self, fd: int, action: int) -> None:
        self._multi.socket_action(fd, action)
        self._take_finished()

    def _take_finished(self) -> None:
        while True:
            queued, finished, failed = self._multi.info_read()
            for curl in finished:
                self._finish(curl.owner, 0)
            for curl, errno, _ in failed:
                self._finish(curl.owner, errno)
            if not queued:
                break

    def _finish(self, transfer: Transfer, errno: int) -> None:
        curl = transfer.curl
        self._multi.remove_handle(curl)
        done = transfer.done
        response = _response(transfer, errno)
        self._release(transfer)
        if done is not None:
            done(response)


def _select_bits(events: int, wanted: int) -> int:
    if events & _ERRORS:
        events |= wanted
    action = 0
    if events & wanted & select.EPOLLIN:
        action |= pycurl.CSELECT_IN
    if events & wanted & select.EPOLLOUT:
        action |= pycurl.CSELECT_OUT
    return action


def _response(transfer: Transfer, errno: int) -> Response:
    if not errno:
        chunks = transfer.chunks
        body = chunks[0] if len(chunks) == 1 else b''.join(chunks)
        return Response(transfer.curl.getinfo(pycurl.RESPONSE_CODE), body)
    sent = transfer.sent
    return Response(0, b'', _failure(errno, sent), sent)


def _failure(errno: int, sent: bool) -> Failure:
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return Failure.TIMEOUT
    if errno == pycurl.E_WRITE_ERROR:
        return Failure.TOO_LARGE
    return Failure.BROKEN if sent else Failure.CONNECT
