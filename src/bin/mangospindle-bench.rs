//! Load generator.

fn main() -> miette::Result<()> {
    let command = mangospindle_bench::command().run();
    actix_web::rt::System::new().block_on(mangospindle_bench::run_command(command))
}
