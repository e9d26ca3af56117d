"""The daemon process: its parts, settings, admin endpoint and lifecycle."""
