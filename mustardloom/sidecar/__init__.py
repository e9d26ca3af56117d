"""The daemon beside each target of a users' deployment, `mustardloom-sidecar`.

Answers to the target's heartbeats grant it ranges of keys. The daemon of the
project's own fleet is in `mustardloom.daemon`.
"""
