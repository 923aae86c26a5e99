"""Adapt tornado's curl client to being closed while calls are running."""

from __future__ import annotations

from tornado import curl_httpclient


class CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Ignore the timers that libcurl sets while the client is being closed.

    They would fire after the client has dropped its curl handles.
    """

    _closing = False

    def close(self) -> None:
        """Close all connections, also those in use."""
        self._closing = True
        super().close()

    def _set_timeout(self, msecs: int) -> None:
        if not self._closing:
            super()._set_timeout(msecs)
