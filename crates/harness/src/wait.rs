use miette::{Result, bail};
use std::time::Duration;

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds, at most for `limit`.
pub async fn wait_until<F, Fut>(what: &str, limit: Duration, mut condition: F) -> Result<()>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let wait = async {
        while !condition().await {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    };
    match actix_rt::time::timeout(limit, wait).await {
        Ok(()) => Ok(()),
        Err(_) => bail!("not within {limit:?}: {what}"),
    }
}
