"""CPU time of daemons at rest and under load, against an earlier version."""
