"""Decisions under load: waiting, turning away, placing, repeating.

Plain functions and small types without input or output.
"""
