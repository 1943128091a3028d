"""What the rig puts into the processes of the instances that it starts."""
