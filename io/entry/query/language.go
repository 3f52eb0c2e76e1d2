// Package query implements the operators' query and command language.
package query

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// Help is the help text for the query language.
const Help = `RELATION [where COLUMN OP VALUE [and ...]] [order by COLUMN [desc]] [limit N]

Relations: budgets, grants, requests, endpoints, refusals, vms, peers, quarantine.
Operators: = != < <= > >= and ~ for "contains". Strings may be double-quoted.

  budgets where account = pedzlarnia and left < 1000 order by left
  requests where rank = urgent and phase = queued
  refusals order by count desc limit 5
  endpoints where leaving = true`

// CommandHelp is the help text for the command language.
const CommandHelp = `topUp ACCOUNT/BUDGET TOKENS
drain ENDPOINT
release FINGERPRINT`

// Query is a parsed query. A Limit of 0 means no limit.
type Query struct {
	Relation   string      `parser:"@Word"`
	Conditions []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order      string      `parser:"( 'order' 'by' @Word"`
	Descending bool        `parser:"  @'desc'? )?"`
	Limit      int         `parser:"( 'limit' @Number )?"`
}

// Condition compares a column with a value. Pos is where it starts in the query.
type Condition struct {
	Pos      lexer.Position
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@( Word | Number | Text )"`
}

// Command is a parsed command. Exactly one of its fields is set.
type Command struct {
	TopUp   *TopUpCommand   `parser:"  'topUp' @@"`
	Drain   *DrainCommand   `parser:"| 'drain' @@"`
	Release *ReleaseCommand `parser:"| 'release' @@"`
}

// TopUpCommand adds tokens to a budget.
type TopUpCommand struct {
	Budget string `parser:"@Word"`
	Tokens int64  `parser:"@Number"`
}

// DrainCommand sets an endpoint to draining.
type DrainCommand struct {
	Endpoint string `parser:"@Word"`
}

// ReleaseCommand ends the quarantine of the requests with a fingerprint.
type ReleaseCommand struct {
	Fingerprint string `parser:"@( Word | Number )"`
}

// SyntaxError describes what is wrong with a query or command, and at which
// column, counted from 1.
type SyntaxError struct {
	Column  int
	Problem string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Problem) }

var queryLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[0-9]*[a-zA-Z_][-a-zA-Z0-9_./:]*`},
	{Name: "Number", Pattern: `-?[0-9]+`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "space", Pattern: `\s+`},
})

var (
	queryParser   = participle.MustBuild[Query](participle.Lexer(queryLexer), participle.Unquote("Text"))
	commandParser = participle.MustBuild[Command](participle.Lexer(queryLexer), participle.Unquote("Text"))
)

// Parse parses a query. For an invalid one it returns a *SyntaxError.
func Parse(text string) (*Query, error) {
	q, err := queryParser.ParseString("", text)
	if err != nil {
		return nil, toSyntaxError(err)
	}
	if _, ok := findSchema(q.Relation); !ok {
		return nil, &SyntaxError{Column: 1, Problem: "no relation " + q.Relation + "; there are " + relationNames()}
	}
	return q, nil
}

// ParseCommand parses a command. For an invalid one it returns a *SyntaxError.
func ParseCommand(text string) (*Command, error) {
	c, err := commandParser.ParseString("", text)
	if err != nil {
		return nil, toSyntaxError(err)
	}
	return c, nil
}

// toSyntaxError converts an error of the parser to a *SyntaxError.
func toSyntaxError(err error) error {
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return &SyntaxError{Column: parseError.Position().Column, Problem: parseError.Message()}
	}
	return &SyntaxError{Column: 1, Problem: err.Error()}
}
