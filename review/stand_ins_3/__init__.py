"""Stand-ins for the cases 11 to 15: store, backends, clients; no product code.

They use the standard library only and follow the users' pages.
"""
