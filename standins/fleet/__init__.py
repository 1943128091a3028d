"""A fleet of whole processes: their network, clocks and lives are the rig's, and one ledger."""
