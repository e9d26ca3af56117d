"""Standard input, output and error of a process, open in any case."""

import os

__all__ = ["open_missing"]

_DESCRIPTORS = (0, 1, 2)


def open_missing() -> None:
    """Opens those that whoever started the process has closed, on nothing.

    Otherwise the next socket gets the descriptor, and its peer the log.
    """
    for descriptor in _DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # It becomes the lowest descriptor that is free.
            os.open(os.devnull, os.O_RDWR)
