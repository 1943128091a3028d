"""Where the parts are put together."""
