"""Where an unexpected error came from, for the log."""

__all__ = ["place_of"]


def place_of(error: BaseException) -> str:
    """Returns file and line that raised an error, "" if it was not raised.

    Example:
      >>> place_of(ValueError("never raised"))
      ''
    """
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
