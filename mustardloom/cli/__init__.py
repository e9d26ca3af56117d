"""Command lines of the daemons, of the operator's tool and of stand-ins."""
