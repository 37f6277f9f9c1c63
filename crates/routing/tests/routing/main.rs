//! Tests of the client table, the lookup order and the router.

#[allow(
    dead_code,
    reason = "each test binary uses only some of the shared helpers"
)]
mod fixture;
mod lookup_cases;
mod router_cases;
