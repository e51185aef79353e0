//! Shell completion.

use control::TableName;

use crate::exit_status::ExitStatus;

/// Prints the completion script for `shell`.
pub(crate) fn print(shell: &str) -> ExitStatus {
    if shell != "bash" {
        eprintln!("fulmarline: no completion for {shell:?}; there is one for bash");
        return ExitStatus::InvalidInput;
    }
    let tables: Vec<_> = TableName::ALL.iter().map(|it| it.name()).collect();
    println!(
        r#"_fulmarline() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" before="${{COMP_WORDS[COMP_CWORD-1]}}"
    case "$before" in
        fulmarline) COMPREPLY=($(compgen -W "entry agent ctl check --version --help" -- "$word")) ;;
        -e|--execute) COMPREPLY=($(compgen -W "{verbs}" -- "$word")) ;;
        show|\"show|\'show) COMPREPLY=($(compgen -W "{tables}" -- "$word")) ;;
        --settings|--file|--token-file|check) COMPREPLY=($(compgen -f -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "--entry --execute --file --token-file --json --wait --id --completion" -- "$word")) ;;
    esac
}}
complete -F _fulmarline fulmarline"#,
        verbs = control::language::VERBS.join(" "),
        tables = tables.join(" "),
    );
    ExitStatus::Success
}
