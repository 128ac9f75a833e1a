use super::command;

#[test]
fn the_command_line_is_consistent() {
    command().debug_assert();
}
