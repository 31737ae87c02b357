"""Client libraries with one set of results and errors, over WebSocket or HTTP, asyncio or blocking."""

from heathford.client.answers import Aborted, BadRequest, Finished, NoFront, RateLimited
from heathford.client.batches import Batches, BlockingBatches
from heathford.client.blocking import Blocking
from heathford.client.http import HttpClient
from heathford.client.websocket import WebSocketClient

__all__ = [
    "Aborted",
    "BadRequest",
    "Batches",
    "Blocking",
    "BlockingBatches",
    "Finished",
    "HttpClient",
    "NoFront",
    "RateLimited",
    "WebSocketClient",
]
