use super::{AdminContext, ROUTES};
use actix_web::dev::Payload;
use actix_web::http::header::AUTHORIZATION;
use actix_web::{FromRequest, HttpRequest, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use std::future::{Ready, ready};

/// An authenticated caller whose role allows the operation. The role comes from [`ROUTES`].
pub(super) struct Caller {
    /// Name of the token.
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
        let needed = (ROUTES.iter())
            .find(|r| r.path == pattern && r.method == req.method().as_str())
            .and_then(|r| r.role);
        match needed {
            Some(needed) if role >= needed => Ok(Caller {
                name: name.to_string(),
            }),
            Some(needed) => {
                let detail = format!("the operation needs the role `{}`", needed.as_str());
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
