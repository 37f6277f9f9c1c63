//! Tests of admission control and link shaping.

mod admission_cases;
#[allow(
    dead_code,
    reason = "each user needs only some of the shared deployments"
)]
#[path = "../../../routing/tests/routing/fixture.rs"]
mod fixture;
mod fuzz;
mod link_cases;
mod op;
mod oracle;
mod overload;
mod simulation;
mod test_owner;
