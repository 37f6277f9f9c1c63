use super::{AdminContext, ROUTES};
use actix_web::dev::Payload;
use actix_web::http::header::AUTHORIZATION;
use actix_web::{FromRequest, HttpRequest, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use std::future::{Ready, ready};

/// An authenticated caller that is authorized for the requested operation.
///
/// [`ROUTES`] defines the role that each operation requires.
pub(super) struct Caller {
    /// Name of the caller's token.
    pub(super) name: String,
}

impl Caller {
    fn authenticate(req: &HttpRequest) -> Result<Self, Problem> {
        let cx = (req.app_data::<web::Data<AdminContext>>())
            .ok_or_else(|| Problem::new(ErrorKind::Internal, "the API is not configured"))?;
        let header = req.headers().get(AUTHORIZATION);
        let value = header.and_then(|v| v.to_str().ok());
        let secret = value.and_then(|v| v.strip_prefix("Bearer "));
        let (name, role) = (cx.tokens.authenticate(secret))
            .ok_or_else(|| Problem::new(ErrorKind::Unauthorized, "send a known bearer token"))?;
        let pattern = req.match_pattern().unwrap_or_default();
        let required = (ROUTES.iter())
            .find(|r| r.path == pattern && r.method == req.method().as_str())
            .and_then(|r| r.role);
        match required {
            Some(required) if role >= required => Ok(Caller {
                name: name.to_string(),
            }),
            Some(required) => {
                let detail = format!("the operation needs the role `{}`", required.as_str());
                Err(Problem::new(ErrorKind::Forbidden, detail))
            }
            None => Err(Problem::new(
                ErrorKind::Forbidden,
                "the operation has no role",
            )),
        }
    }
}

impl FromRequest for Caller {
    type Error = Problem;
    type Future = Ready<Result<Self, Problem>>;

    fn from_request(req: &HttpRequest, _: &mut Payload) -> Self::Future {
        ready(Caller::authenticate(req))
    }
}
