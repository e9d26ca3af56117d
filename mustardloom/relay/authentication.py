"""Message authentication codes with the fleet's shared key."""

import hashlib
import hmac

__all__ = ["CODE_BYTES", "Authenticator"]

CODE_BYTES = 16


class Authenticator:
    """Signs and checks messages between daemons of one fleet.

    Example:
      >>> authenticator = Authenticator(b"fleet key")
      >>> authenticator.is_valid(b"text", authenticator.sign(b"text"))
      True
    """

    def __init__(self, key: bytes):
        self._key = hashlib.blake2b(key, digest_size=32).digest()

    def sign(self, message: bytes) -> bytes:
        """Returns the authentication code of `message`."""
        digest = hashlib.blake2b(message, digest_size=CODE_BYTES, key=self._key)
        return digest.digest()

    def is_valid(self, message: bytes, code: bytes) -> bool:
        """Returns whether `code` was made for `message` with the same key."""
        return hmac.compare_digest(self.sign(message), code)
