"""Reserved capacity: contracts (a tenant's guaranteed rate over a period), admission control, and leases."""
