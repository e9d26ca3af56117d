"""The daemon that runs beside each target of a deployment."""
