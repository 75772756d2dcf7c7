Feature: The gateway proxies HTTP/1.0 and HTTP/1.1

  A caller must be able to tell a complete response from a truncated one,
  however its length is given, and must get a status for a request that the
  gateway refuses.

  Scenario Outline: A response arrives complete, or as visibly truncated
    Given 1 gateway with 2 slots
    And the target answers "<answer>"
    When a caller sends the request "<request>"
    Then the caller gets "<got>"

    Examples: "~" stands for the end of a line
      | request                    | answer                                                            | got                  |
      | GET /a HTTP/1.1~~          | HTTP/1.1 200 OK~Content-Length: 5~~whole                          | 200 whole: whole     |
      | GET /a HTTP/1.1~~          | HTTP/1.1 200 OK~Content-Length: 9~~short                          | 200 cut:             |
      | GET /a HTTP/1.1~~          | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~0~~           | 200 whole: hello     |
      | GET /a HTTP/1.1~~          | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~              | 200 cut:             |
      | GET /a HTTP/1.1~~          | HTTP/1.1 200 OK~~until close                                      | 200 whole: until close |
      | GET /a HTTP/1.0~~          | HTTP/1.1 200 OK~~until close                                      | 200 whole: until close |
      | GET /a HTTP/1.0~Connection: keep-alive~~ | HTTP/1.1 200 OK~~until close                        | 200 whole: until close |
      | GET /a HTTP/1.0~~          | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~0~~           | 200 whole: hello     |
      | GET /a HTTP/1.0~~          | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~              | 200 cut:             |
      | HEAD /a HTTP/1.1~~         | HTTP/1.1 200 OK~Content-Length: 5~~                               | 200 whole:           |
      | GET /a HTTP/1.1~~          | HTTP/1.1 204 No Content~~                                         | 204 whole:           |
      | GET /a HTTP/1.1~~          | HTTP/1.1 304 Not Modified~Content-Length: 5~~                     | 304 whole:           |
      | GET /a HTTP/1.1~~          | HTTP/1.1 103 Early Hints~~HTTP/1.1 200 OK~Content-Length: 2~~ok   | 200 whole: ok        |
      | GET /a HTTP/1.1~~          | HTTP/1.1 503 Busy~Content-Length: 4~~busy                         | 503 whole: busy      |
      | POST /a HTTP/1.1~Expect: 100-continue~Content-Length: 2~~hi | HTTP/1.1 200 OK~Content-Length: 2~~ok | 200 whole: ok   |
      | POST /a HTTP/1.1~Transfer-Encoding: chunked~~2~hi~0~~ | HTTP/1.1 200 OK~Content-Length: 2~~ok  | 200 whole: ok        |
      | DELETE /a HTTP/1.1~Transfer-Encoding: chunked~~2~hi~0~~ | HTTP/1.1 200 OK~Content-Length: 2~~ok | 200 whole: ok       |

  Scenario Outline: A request over a limit gets a status that says so
    Given 1 gateway with 2 slots
    And target 1 "hangs before running"
    When a caller sends <bytes> bytes of "<part>" in "<request>"
    Then the caller gets "<got>"
    And the target ran nothing

    Examples:
      | request                                               | bytes    | part  | got          |
      | GET /a HTTP/1.1~Padding: *~~                          | 70000    | field | 431 not-run: |
      | POST /a HTTP/1.1~Content-Length: 17000000~~*          | 1000     | body  | 413 not-run: |
      | POST /a HTTP/1.1~Transfer-Encoding: chunked~~*        | 17000000 | chunks | 413 unknown: |
      | DELETE /a HTTP/1.1~Transfer-Encoding: chunked~~*      | 100000   | chunks | 411 not-run: |

  Scenario: Repeated header fields are copied, hop-by-hop ones are not
    Given 1 gateway with 2 slots
    And the target answers "HTTP/1.1 200 OK~Set-Cookie: a=1~Set-Cookie: b=2~Connection: X-Hop~X-Hop: 1~Content-Length: 0~~"
    When a caller sends the request "GET /a HTTP/1.1~Connection: X-Secret~X-Secret: 1~X-Chicorycart-Hops: 1~Cookie: a=1~~"
    Then the response has the fields "Set-Cookie: a=1, Set-Cookie: b=2" and not "X-Hop"
    And the target got the fields "Cookie: a=1, X-Request-Id, X-Request-Timeout-Ms" and not "X-Secret, X-Chicorycart-Hops"

  Scenario: Pipelined requests get their responses in order
    Given 1 gateway with 2 slots
    When a caller pipelines "GET /1 HTTP/1.1~~GET /2 HTTP/1.1~~GET /3 HTTP/1.1~~" and gets 3 responses
    Then the target ran "/1 /2 /3" in this order

  Scenario Outline: A stalled caller does not block another: <bad>
    Given 1 gateway with 1 slots
    And the target answers a body of <bytes> bytes
    When a caller falls silent after "<bad>"
    Then another caller gets "200 whole" within 5 s

    Examples:
      | bad                                          | bytes    |
      | POST /a HTTP/1.1~Content-Length: 100~~half   | 10       |
      | GET /a HTTP/1.1~Half-a-field                 | 10       |
      | GET /a HTTP/1.1~~                            | 30000000 |

  Scenario: A duplicate response is not used for a later request
    Given 1 gateway with 2 slots
    And the target answers "HTTP/1.1 200 OK~Content-Length: 5~~firstHTTP/1.1 200 OK~Content-Length: 5~~first"
    When a caller requests "/1" over a new persistent connection
    And the target answers "HTTP/1.1 200 OK~Content-Length: 6~~second"
    And the caller requests "/2" over the same connection
    Then the caller got "first, second" and the target ran "/1, /2"
