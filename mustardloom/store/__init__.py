"""Access to the platform's object API."""

from mustardloom.store.client import PlatformClient
from mustardloom.store.http_client import HttpPlatformClient
from mustardloom.store.memory import Faults
from mustardloom.store.memory import MemoryPlatform
from mustardloom.store.memory import MemoryStore
from mustardloom.store.objects import Conflict
from mustardloom.store.objects import Event
from mustardloom.store.objects import Listing
from mustardloom.store.objects import PlatformUnavailable
from mustardloom.store.objects import RecordedWrite
from mustardloom.store.objects import Snapshot
from mustardloom.store.objects import Undecided
from mustardloom.store.objects import Versioned
from mustardloom.store.objects import WatchBatch
from mustardloom.store.objects import Write
from mustardloom.store.objects import WriteResult
from mustardloom.store.objects import Written
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
