"""Incremental and bounded parsing of one HTTP/1.1 response, with httptools (llhttp)."""

from __future__ import annotations

import httptools

from badgeryoke.gateway.connecting import READ_CHUNK_BYTES

STATUS_OK = 200
FIRST_FINAL_STATUS = 200  # lower ones are informational: the final response follows
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
# Including chunk sizes and the trailer.  A read that finds data does not wait, so without this bound an endless
# response would block the event loop.
MAX_RESPONSE_BYTES = 2 * MAX_BODY_BYTES


class HttpResponseError(ValueError):
    """A response that is malformed, too large, or has another status than 200."""


class HttpResponse:
    """An HTTP response that is being read; `status` and `body` are valid once it is complete."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head_complete = self._complete = False
        self._length_known = False  # true if Content-Length or chunks delimit the body, else the close does
        self._bytes_read = 0
        self.body = bytearray()
        self.status = 0
        self.keep_alive = True

    def feed(self, data: bytes) -> bool:
        """Parse the next piece; returns whether the response is complete.  Raises HttpResponseError."""
        self._bytes_read += len(data)
        # The parser has no bounds of its own; the piece just read may exceed the bound.
        max_bytes = MAX_RESPONSE_BYTES if self._head_complete else MAX_HEAD_BYTES
        if self._bytes_read > max_bytes + READ_CHUNK_BYTES:
            raise HttpResponseError("body too large" if self._head_complete else "head too large")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # __context__: the exception that a callback below raised
            raise HttpResponseError(f"malformed HTTP response: {error.__context__ or error}") from None
        return self._complete

    @property
    def started(self) -> bool:
        """Whether any byte has arrived."""
        return self._bytes_read > 0

    def connection_closed(self) -> bool:
        """Record that the peer closed the connection in order; returns whether that completes the response."""
        self.keep_alive = False
        return self._head_complete and not self._length_known

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header field."""
        if name.lower() == b"content-length" and int(value) > MAX_BODY_BYTES:
            raise HttpResponseError("body too large")
        # Of the transfer codings, only a final "chunked" determines where the body ends.
        self._length_known |= name.lower() == b"content-length" or (
            name.lower() == b"transfer-encoding" and value.lower().rstrip().endswith(b"chunked")
        )

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            self._length_known = False  # the head of the final response is still to come
            return
        self._head_complete = True
        if self.status != STATUS_OK:  # its body may be long, and is not needed
            raise HttpResponseError(f"status {self.status}")

    def on_body(self, data: bytes) -> None:
        """Handle a piece of the body."""
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            raise HttpResponseError("body too large")
        self.body += data

    def on_message_complete(self) -> None:
        """Handle the end of a response; an informational one is not the final response."""
        if self.status >= FIRST_FINAL_STATUS:
            self._complete, self.keep_alive = True, self._parser.should_keep_alive()
