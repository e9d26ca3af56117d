"""The daemon of the project's own fleet, `mustardloomd`.

Daemons own hash slots of the keys under leases that witnesses confirm. The
daemon of users' deployments is in `mustardloom.sidecar`.
"""
