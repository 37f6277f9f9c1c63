//! The entry process; see `mangospindle_entry`.

#[actix_web::main]
async fn main() -> miette::Result<()> {
    mangospindle_entry::run_command(mangospindle_entry::command().run()).await
}
