"""What a tenant is: settings, their checks, versions and differences, quotas, who may see what.

Everything in this room is pure: it does no I/O and reads no clock. Times are passed in, as
integer milliseconds of Unix time where they are kept, as integer nanoseconds of a monotonic
clock where they only measure. docs/design/tenants.md says why it is as it is.
"""
