//! Reading of settings from flags and variables.

use std::ffi;

use guavausher_node::settings;
use rstest::rstest;

const PROGRAM: settings::Program = settings::Program {
    name: "guavausher-test",
    about: "Tests settings.",
    operands: "",
    settings: &[
        settings::Setting {
            flag: "--store",
            kind: settings::Kind::Address,
            default: None,
            help: "Address of the platform",
        },
        settings::Setting {
            flag: "--store-timeout",
            kind: settings::Kind::Millis { min: 1, max: 100 },
            default: Some("50"),
            help: "Longest call",
        },
        settings::Setting {
            flag: "--key",
            kind: settings::Kind::Secret,
            default: Some("0123456789abcdef"),
            help: "Key of the deployment",
        },
    ],
};

fn read(arguments: &[&str], variables: &[(&str, &str)]) -> Result<settings::Values, String> {
    let arguments = arguments.iter().map(ffi::OsString::from).collect();
    let lookup = |name: &str| {
        let found = variables.iter().find(|pair| pair.0 == name);
        found.map(|pair| ffi::OsString::from(pair.1))
    };
    match PROGRAM.read(arguments, lookup) {
        Ok(settings::Outcome::Run(values)) => Ok(values),
        Ok(other) => Err(format!("{other:?}")),
        Err(error) => Err(error.to_string()),
    }
}

#[rstest]
#[case::flag_wins(&["--store", "127.0.0.1:1"], &[("GUAVAUSHER_STORE", "127.0.0.1:2")], 1)]
#[case::variable(&[], &[("GUAVAUSHER_STORE", "127.0.0.1:2")], 2)]
#[case::equals_sign(&["--store=127.0.0.1:3"], &[], 3)]
fn read_takes(#[case] flags: &[&str], #[case] variables: &[(&str, &str)], #[case] port: u16) {
    let values = read(flags, variables).unwrap();
    assert_eq!(values.address("--store").unwrap().port(), port);
    assert_eq!(values.duration("--store-timeout").unwrap().as_millis(), 50);
}

#[rstest]
#[case::missing(&[], "GUAVAUSHER_STORE")]
#[case::no_value(&["--store"], "--store VALUE")]
#[case::host_name(&["--store", "platform:1"], "give an address")]
#[case::out_of_bounds(&["--store", "127.0.0.1:1", "--store-timeout", "0"], "from 1 to 100")]
#[case::unknown(&["--store", "127.0.0.1:1", "--stroe", "x"], "\"--stroe\"")]
#[case::doubled(&["--store", "127.0.0.1:1", "--store", "127.0.0.1:2"], "given twice")]
#[case::operand(&["--store", "127.0.0.1:1", "more"], "\"more\"")]
fn read_refuses(#[case] flags: &[&str], #[case] part: &str) {
    let error = read(flags, &[]).unwrap_err();
    assert!(error.contains(part), "{error}");
}

#[test]
fn read_hides_secret() {
    let error = read(&["--store", "127.0.0.1:1", "--key", "hunter2"], &[]).unwrap_err();
    assert!(!error.contains("hunter2"), "{error}");
}

#[test]
fn help_names_every_setting() {
    let help = PROGRAM.help();
    for setting in PROGRAM.settings {
        assert!(help.contains(setting.flag));
        assert!(help.contains(&setting.variable()));
    }
}
