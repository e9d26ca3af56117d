"""Translates between the users' platform and the project's types.

Nothing here decides; nothing outside knows a name of the wire.
"""
