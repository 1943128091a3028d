"""The hosted service. The platform node (python -m windrelay) loads nothing of it."""
