use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::wire::{AuditPageWire, AuditRecordWire};
use actix_web::{HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use mangospindle_state::{AuditChange, AuditRecord, ConfigChange};
use serde::Deserialize;

/// Number of records in a page if the request has no `limit`.
const DEFAULT_LIMIT: usize = 100;

/// Maximum number of records in a page.
const MAX_LIMIT: usize = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::admin) struct PageQuery {
    /// The page starts after this sequence number.
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

pub(in crate::admin) async fn page(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    query: web::Query<PageQuery>,
) -> Result<HttpResponse, Problem> {
    let limit = query.limit.unwrap_or(DEFAULT_LIMIT);
    if !(1..=MAX_LIMIT).contains(&limit) {
        let detail = format!("limit is 1 to {MAX_LIMIT}");
        return Err(Problem::new(ErrorKind::BadRequest, detail));
    }
    // Reading the configuration after the page ensures that it has all names that the page uses.
    let page = cx.backend.audit(query.after, limit).await?;
    let config = cx.backend.config().await?;
    let records = page.records.iter();
    Ok(HttpResponse::Ok().json(AuditPageWire {
        records: records.map(|r| AuditRecordWire::new(&config, r)).collect(),
        first_available: page.first_available,
        last: page.last,
    }))
}

pub(in crate::admin) async fn profile_history(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let mut profile_records = Vec::new();
    let mut after = 0;
    let (first_available, last) = loop {
        let page = cx.backend.audit(after, MAX_LIMIT).await?;
        let matching = page.records.iter().filter(|r| changes_profile(r, &name));
        profile_records.extend(matching.map(|r| AuditRecordWire::new(&config, r)));
        match page.records.last() {
            Some(newest) if newest.sequence < page.last => after = newest.sequence,
            _ => break (page.first_available, page.last),
        }
    };
    Ok(HttpResponse::Ok().json(AuditPageWire {
        records: profile_records,
        first_available,
        last,
    }))
}

fn changes_profile(record: &AuditRecord, name: &str) -> bool {
    match &record.change {
        AuditChange::Bootstrap { profiles, .. } => profiles.iter().any(|p| p == name),
        AuditChange::Config { after, .. } => match &**after {
            ConfigChange::PutProfile(versioned) => versioned.profile.name == name,
            ConfigChange::DeleteProfile(deleted) => deleted == name,
            _ => false,
        },
    }
}
