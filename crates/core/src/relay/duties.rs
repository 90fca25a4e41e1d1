//! Duties of the one instance that holds the lease.
