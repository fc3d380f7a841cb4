"""An HTTP/1.1 server and client, based on `asyncio` and `h11`."""

from lynxchute.http.client import (
    AbortHandle,
    ClientPool,
    ExchangeError,
    HttpClient,
    Response,
    Timeouts,
)
from lynxchute.http.headers import HeaderItems, Headers
from lynxchute.http.link_meter import LinkMeter
from lynxchute.http.link_share import LinkShare
from lynxchute.http.messages import BadRequest, Request, RequestHead
from lynxchute.http.responder import CallerDisconnected, Responder
from lynxchute.http.server import HttpServer, ServerLimits, not_found

__all__ = [
    "AbortHandle",
    "BadRequest",
    "CallerDisconnected",
    "ClientPool",
    "ExchangeError",
    "HeaderItems",
    "Headers",
    "HttpClient",
    "HttpServer",
    "LinkMeter",
    "LinkShare",
    "Request",
    "RequestHead",
    "Responder",
    "Response",
    "ServerLimits",
    "Timeouts",
    "not_found",
]
