"""Access to the platform's object API."""

from mustardloom.objects import Conflict
from mustardloom.objects import Event
from mustardloom.objects import Listing
from mustardloom.objects import PlatformUnavailable
from mustardloom.objects import RecordedWrite
from mustardloom.objects import Snapshot
from mustardloom.objects import Undecided
from mustardloom.objects import Versioned
from mustardloom.objects import WatchBatch
from mustardloom.objects import Write
from mustardloom.objects import WriteResult
from mustardloom.objects import Written
from mustardloom.store.client import PlatformClient
from mustardloom.store.http_client import HttpPlatformClient
from mustardloom.store.memory import Faults
from mustardloom.store.memory import MemoryPlatform
from mustardloom.store.memory import MemoryStore
from mustardloom.store.raw import ValueTooLarge
from mustardloom.store.read_back import ReadBackClient

__all__ = [
    "Conflict",
    "Event",
    "Faults",
    "HttpPlatformClient",
    "Listing",
    "MemoryPlatform",
    "MemoryStore",
    "PlatformClient",
    "PlatformUnavailable",
    "ReadBackClient",
    "RecordedWrite",
    "Snapshot",
    "Undecided",
    "ValueTooLarge",
    "Versioned",
    "WatchBatch",
    "Write",
    "WriteResult",
    "Written",
]
