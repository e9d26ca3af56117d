"""Decisions under load: queueing, admission, placement and retries.

Pure functions and small types that do no I/O.
"""
