package entity

import "fmt"

// Keys and key prefixes of rows in the table service.
const (
	VMPrefix     = "vm/"
	GrantPrefix  = "grant/"
	LedgerPrefix = "ledger/"
	ChangePrefix = "config/change/"
	HeadKey      = "config/head"
)

// VMKey returns the key of a VM's row.
func VMKey(name string) string { return VMPrefix + name }

// BudgetKey returns the key of a budget's row.
func BudgetKey(budget string) string { return "budget/" + budget }

// GrantsPrefix returns the prefix of the keys of all grants of one incarnation.
func GrantsPrefix(incarnation string) string { return GrantPrefix + incarnation + "/" }

// GrantKey returns the key of one incarnation's grant of a budget.
func GrantKey(incarnation, budget string) string { return GrantsPrefix(incarnation) + budget }

// LedgerKey returns the key of one batch of an incarnation's charges, given the
// number of the batch.
func LedgerKey(incarnation string, batch int64) string {
	return fmt.Sprintf("%s%s/%012d", LedgerPrefix, incarnation, batch)
}

// ClaimKey returns the key of the claim of one request of an account.
func ClaimKey(account, requestKey string) string { return "claim/" + account + "/" + requestKey }

// ChangeKey returns the key of one configuration change.
func ChangeKey(version int64) string { return fmt.Sprintf("%s%012d", ChangePrefix, version) }

// OperationKey returns the key of the row that makes an operator's change
// idempotent.
func OperationKey(operation string) string { return "operation/" + operation }
