//! The examples of docs/API.md, run against real entries.

mod fleet;

use fleet::{Fleet, Plan};

const PAGE: &str = include_str!("../../../docs/API.md");

/// One example: a call by curl and what the page says that it prints.
#[derive(Debug)]
struct Example {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    printed: Vec<String>,
    whole: bool,
}

#[test]
fn examples_print_what_the_page_says() {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let examples: Vec<_> = PAGE.split("```\n").filter_map(example).collect();
    assert!(examples.len() >= 4, "{examples:?}");
    for example in examples {
        let headers: Vec<_> = example
            .headers
            .iter()
            .map(|(k, v)| (k.as_str(), v.as_str()))
            .collect();
        let caller = fleet.entries[0].caller;
        let answer = fleet::call("POST", caller, &example.path, &headers, &example.body);
        let answer = answer.expect("an answer");
        let text = match example.whole {
            true => format!("{}\n{}", answer.head, answer.body),
            false => answer.body,
        };
        let printed: Vec<_> = text.lines().map(masked).collect();
        for line in &example.printed {
            assert!(
                printed.contains(&masked(line)),
                "{line:?} is not in {printed:#?}"
            );
        }
    }
}

fn example(block: &str) -> Option<Example> {
    let joined = block.replace("\\\n", " ");
    let (command, printed) = joined.strip_prefix("$ curl ")?.split_once('\n')?;
    let words = words(command);
    let url = words.iter().find(|word| word.starts_with("http://"))?;
    let path = url.splitn(4, '/').nth(3)?;
    let after = |flag: &str| {
        let at = words.iter().position(|word| word == flag);
        at.and_then(|at| words.get(at + 1))
            .cloned()
            .unwrap_or_default()
    };
    let headers = words.windows(2).filter(|pair| pair[0] == "-H");
    let headers = headers.filter_map(|pair| pair[1].split_once(": "));
    Some(Example {
        path: format!("/{path}"),
        headers: headers.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
        body: after("-d"),
        printed: printed
            .lines()
            .filter(|l| !l.is_empty())
            .map(str::to_owned)
            .collect(),
        whole: words.contains(&String::from("-i")),
    })
}

/// Splits a command line at blanks outside single quotes.
fn words(command: &str) -> Vec<String> {
    let parts = command.split('\'').enumerate();
    parts
        .flat_map(|(at, part)| match at % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        })
        .collect()
}

/// Hides what differs from run to run: ids of requests and attempts, and cached tokens.
fn masked(line: &str) -> String {
    let line = line.trim_end();
    if line.starts_with("x-request-id: ") {
        return String::from("x-request-id");
    }
    let Some((head, tail)) = line.split_once("\"attempt\":\"") else {
        return line.to_owned();
    };
    let rest = tail.split_once('"').map_or("", |(_, rest)| rest);
    format!("{}{rest}", head.split("\"prompt\":").next().unwrap_or(head))
}
