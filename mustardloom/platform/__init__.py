"""Access to the platform's object API."""

from mustardloom.platform.client import PlatformClient
from mustardloom.platform.http_client import HttpPlatformClient
from mustardloom.platform.memory import Faults
from mustardloom.platform.memory import MemoryPlatform
from mustardloom.platform.memory import MemoryStore
from mustardloom.platform.objects import Conflict
from mustardloom.platform.objects import Event
from mustardloom.platform.objects import Listing
from mustardloom.platform.objects import PlatformUnavailable
from mustardloom.platform.objects import RecordedWrite
from mustardloom.platform.objects import Snapshot
from mustardloom.platform.objects import Undecided
from mustardloom.platform.objects import Versioned
from mustardloom.platform.objects import WatchBatch
from mustardloom.platform.objects import Write
from mustardloom.platform.objects import WriteResult
from mustardloom.platform.objects import Written
from mustardloom.platform.raw import ValueTooLarge
from mustardloom.platform.read_back import ReadBackClient

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
