//! The host's route with the longest matching prefix is found, and samples follow the branches' shares.

use routes::prelude::*;
use units::prelude::{RouteName, ServiceName};

fn desired(routes: &[(&str, &str, &str)]) -> DesiredState {
    let mut desired = DesiredState::default();
    for (name, host, prefix) in routes {
        let branches = vec![
            Branch { service: ServiceName::from("s"), share: 3 },
            Branch { service: ServiceName::from("t"), share: 1 },
        ];
        let spec = RouteSpec { host: (*host).into(), prefix: (*prefix).into(), branches, ..RouteSpec::default() };
        desired.routes.insert(RouteName::from(*name), spec);
    }
    desired
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::of(&desired(&[
        ("root", "a.example", "/"),
        ("short", "a.example", "/x/"),
        ("long", "a.example", "/x/y/"),
        ("other", "b.example", "/x/"),
    ]));
    let found = |host, path| table.find(host, path).map(|route| route.name.as_str().to_owned());
    for (host, path, name) in [
        ("a.example", "/x/y/z", Some("long")),
        ("A.Example:80", "/x/y", Some("short")),
        ("a.example", "/x", Some("root")),
        ("b.example", "/x/1", Some("other")),
        ("b.example", "/", None),
        ("c.example", "/x/", None),
        ("a.example", "", None),
    ] {
        assert_eq!(found(host, path).as_deref(), name, "{host}{path}");
    }
}

#[test]
fn every_branch_gets_its_share_of_draws() {
    let table = RouteTable::of(&desired(&[("r", "a", "/")]));
    let route = table.find("a", "/").unwrap();
    let to_s = (0..400).filter(|sample| route.service(*sample) == Some(&ServiceName::from("s"))).count();
    assert_eq!(to_s, 300);
    assert!(route.allows(&ServiceName::from("t")) && !route.allows(&ServiceName::from("u")));
}
