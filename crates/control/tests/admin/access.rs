use crate::backend::StateBackend;
use actix_web::App;
use actix_web::http::Method;
use actix_web::test::{TestRequest, call_service, init_service};
use mangospindle_control::admin::{AdminContext, ROUTES, Role, TokenError, Tokens, configure};
use sha2::{Digest, Sha256};
use std::sync::Arc;

fn hash(secret: &str) -> String {
    format!("{:x}", Sha256::digest(secret))
}

/// Guards against a route that accepts callers without its role, and a route that rejects callers
/// that have it.
#[actix_web::test]
async fn every_route_requires_its_role() {
    let mut tokens = Tokens::default();
    for role in Role::ALL {
        let name = role.as_str();
        tokens
            .add(name, role, &hash(&format!("secret of {name}")))
            .unwrap();
    }
    let cx = AdminContext::new(Arc::new(StateBackend::new()), tokens);
    let app = init_service(App::new().configure(configure(cx))).await;
    let callers = [
        (None, None),
        (Some("Bearer wrong"), None),
        (Some("secret of owner"), None),
        (Some("Bearer secret of viewer"), Some(Role::Viewer)),
        (Some("Bearer secret of operator"), Some(Role::Operator)),
        (Some("Bearer secret of owner"), Some(Role::Owner)),
    ];
    for route in &ROUTES {
        for (authorization, role) in callers {
            let method = Method::from_bytes(route.method.as_bytes()).unwrap();
            let uri = route.path.replace(['{', '}'], "");
            let mut req = TestRequest::with_uri(&uri).method(method);
            if let Some(value) = authorization {
                req = req.insert_header(("Authorization", value));
            }
            let status = call_service(&app, req.to_request()).await.status();
            let expected_code = match (role, route.role) {
                (_, None) => None,
                (None, Some(_)) => Some(401),
                (Some(held), Some(required)) if held < required => Some(403),
                _ => None,
            };
            let request = format!(
                "{} {} by {authorization:?}: {status}",
                route.method, route.path
            );
            match expected_code {
                Some(code) => assert_eq!(status.as_u16(), code, "{request}"),
                None => assert!(!matches!(status.as_u16(), 401 | 403), "{request}"),
            }
        }
    }
}

/// Guards against accepting tokens that cannot be used or distinguished, and against an
/// unauthenticated listener that is reachable from other VMs.
#[test]
fn rejects_unusable_tokens() {
    let mut tokens = Tokens::default();
    let [local, exposed] = ["127.0.0.1:1", "10.0.0.1:1"].map(|a| a.parse().unwrap());
    assert_eq!(tokens.check_listener(local), Ok(()));
    let unauthenticated = Err(TokenError::UnauthenticatedListener(exposed));
    assert_eq!(tokens.check_listener(exposed), unauthenticated);
    let malformed = || Err(TokenError::MalformedHash("a".to_string()));
    let cases = [
        ("", hash("a"), Err(TokenError::InvalidName(String::new()))),
        ("a", "12".to_string(), malformed()),
        ("a", "é".repeat(32), malformed()),
        ("a", hash("a").to_uppercase(), Ok(())),
        (
            "a",
            hash("b"),
            Err(TokenError::InvalidName("a".to_string())),
        ),
    ];
    for (name, hash, expected) in cases {
        let added = tokens.add(name, Role::Viewer, &hash);
        assert_eq!(added, expected, "{name} {hash}");
    }
    assert_eq!(tokens.check_listener(exposed), Ok(()));
}
