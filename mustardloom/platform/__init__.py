"""Access to the platform's object API."""

from mustardloom.platform.client import PlatformClient
from mustardloom.platform.objects import Conflict
from mustardloom.platform.objects import Event
from mustardloom.platform.objects import Listing
from mustardloom.platform.objects import PlatformUnavailable
from mustardloom.platform.objects import Undecided
from mustardloom.platform.objects import Versioned
from mustardloom.platform.objects import WatchBatch
from mustardloom.platform.objects import WriteResult
from mustardloom.platform.objects import Written

__all__ = [
    "Conflict",
    "Event",
    "Listing",
    "PlatformClient",
    "PlatformUnavailable",
    "Undecided",
    "Versioned",
    "WatchBatch",
    "WriteResult",
    "Written",
]
