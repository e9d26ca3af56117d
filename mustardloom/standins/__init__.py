"""Stand-ins for callers, targets and the platform, for trials and tests."""
