//! Stand-ins for endpoints and the platform's VM list.

fn main() -> miette::Result<()> {
    let command = mangospindle_standin::command().run();
    actix_web::rt::System::new().block_on(mangospindle_standin::run(command))
}
