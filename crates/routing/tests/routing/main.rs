//! Tests of the client table, the lookup order and the router.

mod fixture;
mod lookup_cases;
mod router_cases;
