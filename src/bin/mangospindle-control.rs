//! A control replica; see `mangospindle_control`.

fn main() -> miette::Result<()> {
    let command = mangospindle_control::command().run();
    actix_web::rt::System::new().block_on(mangospindle_control::run_command(command))
}
