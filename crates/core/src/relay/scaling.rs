//! How many engines of each market a service should have in each failure domain.
