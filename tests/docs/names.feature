Feature: The docs name only what exists

  Scenario: Every command in the docs exists
    Then each chicorycart, chicorycartd, make and python -m command exists

  Scenario Outline: The settings reference and the schema agree
    Then "<page>" lists just the settings of "<schema>" under "<heading>"

    Examples:
      | page             | schema                             | heading  |
      | settings.md      | settings/balancer.schema.json      | Balancer |
      | settings.md      | settings/agent.schema.json         | Agent    |
      | configuration-reference.md | configuration/service.schema.json | Service |

  Scenario: Every page that is linked exists
    Then each relative link between the pages leads to a file

  Scenario: Every scenario that the proofs name exists
    Then each scenario named in "proofs.md" stands in a feature

  Scenario: Every name that the pages import exists
    Then each import in the Python code of the pages works
