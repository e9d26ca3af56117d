"""Adapter between the platform's wire formats and this project's types.

It takes no routing decisions. Names from the wire formats occur only here, so
that a change of a format changes no other package.
"""
