// Package query is the operators' query and command language.
package query

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// Help explains the query language.
const Help = `RELATION [where COLUMN OP VALUE [and ...]] [order by COLUMN [desc]] [limit N]

Relations: budgets, grants, requests, endpoints, refusals, vms, peers, quarantine.
Operators: = != < <= > >= and ~ for "contains". Texts may stand in double quotes.

  budgets where account = pedzlarnia and left < 1000 order by left
  requests where rank = urgent and phase = queued
  refusals order by count desc limit 5
  endpoints where leaving = true`

// CommandHelp explains the command language.
const CommandHelp = `topUp ACCOUNT/BUDGET TOKENS
drain ENDPOINT
release FINGERPRINT`

// Query is a parsed query.
type Query struct {
	Relation   string      `parser:"@Word"`
	Conditions []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order      string      `parser:"( 'order' 'by' @Word"`
	Descending bool        `parser:"  @'desc'? )?"`
	Limit      int         `parser:"( 'limit' @Number )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Pos      lexer.Position
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@( Word | Number | Text )"`
}

// Command is a parsed command.
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

// DrainCommand marks an endpoint as leaving.
type DrainCommand struct {
	Endpoint string `parser:"@Word"`
}

// ReleaseCommand ends a quarantine.
type ReleaseCommand struct {
	Fingerprint string `parser:"@( Word | Number )"`
}

// SyntaxError points at the column where a text is wrong.
type SyntaxError struct {
	Column  int
	Problem string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Problem) }

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[0-9]*[a-zA-Z_][-a-zA-Z0-9_./:]*`},
	{Name: "Number", Pattern: `-?[0-9]+`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "space", Pattern: `\s+`},
})

var (
	queries  = participle.MustBuild[Query](participle.Lexer(tokens), participle.Unquote("Text"))
	commands = participle.MustBuild[Command](participle.Lexer(tokens), participle.Unquote("Text"))
)

// Parse reads a query. A wrong one gives a *SyntaxError.
func Parse(text string) (*Query, error) {
	q, err := queries.ParseString("", text)
	if err != nil {
		return nil, syntaxError(err)
	}
	if _, ok := relationNamed(q.Relation); !ok {
		return nil, &SyntaxError{Column: 1, Problem: "no relation " + q.Relation + "; there are " + relationNames()}
	}
	return q, nil
}

// ParseCommand reads a command. A wrong one gives a *SyntaxError.
func ParseCommand(text string) (*Command, error) {
	c, err := commands.ParseString("", text)
	if err != nil {
		return nil, syntaxError(err)
	}
	return c, nil
}

func syntaxError(err error) error {
	var at participle.Error
	if errors.As(err, &at) {
		return &SyntaxError{Column: at.Position().Column, Problem: at.Message()}
	}
	return &SyntaxError{Column: 1, Problem: err.Error()}
}
