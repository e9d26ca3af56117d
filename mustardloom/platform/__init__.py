"""Adapter between the platform's wire formats and this project's types.

It takes no routing decisions. Names of the platform's wire occur only here, so
that a change of the wire changes no other package.
"""
