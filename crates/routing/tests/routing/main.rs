//! Tests of the client table, the lookup order and the router.

#[allow(dead_code, reason = "each user needs a part of the shared deployments")]
mod fixture;
mod lookup_cases;
mod router_cases;
